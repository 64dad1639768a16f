//! Client of the platform's object API: conditional updates, watches, call budget.
