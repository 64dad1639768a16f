//! Limits: connections, concurrency, admission, retry and hedge budgets.
