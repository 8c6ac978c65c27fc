"""HTTP statuses by which nodes and targets report the outcome of a request."""

# The request was not executed and never will be.
STATUS_NOT_RUN = 503

# The first of the server error statuses.
STATUS_SERVER_ERROR = 500

# The outcome is indeterminate: the request may have been executed.
STATUS_BAD_GATEWAY = 502
STATUS_TIMEOUT = 504

# The request carries no key, or one that identifies no account.
STATUS_UNAUTHORIZED = 401

# The account has used up its cap; the request has not run.
STATUS_TOO_MANY_REQUESTS = 429

# HTTP has no other statuses. Interim responses, below the first final status, precede a final one.
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
