package shelffront.decision;

/** Identifies an attempt: its request, and its number within that request, from 0. */
record AttemptId(String requestId, int attemptNumber) {}
