package shelffront.decision;

/** Identifies an attempt by its request and its zero-based number within that request. */
record AttemptId(String requestId, int attemptNumber) {}
