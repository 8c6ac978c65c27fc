"""HTTP statuses by which nodes and targets report the outcome of a request."""

# The request was not executed and never will be.
STATUS_NOT_RUN = 503

# The first of the server error statuses.
STATUS_SERVER_ERROR = 500

# The outcome is indeterminate: the request may have been executed.
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504
