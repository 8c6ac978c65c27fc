"""HTTP statuses by which nodes and targets say what became of a request."""

# The request was not run and never will be.
STATUS_NOT_RUN = 503

# The first of the statuses that stand for a failure of the server.
STATUS_SERVER_ERROR = 500

# These two promise nothing; the request may have run.
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
