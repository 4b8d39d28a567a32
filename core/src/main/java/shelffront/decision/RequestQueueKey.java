package shelffront.decision;

/** Identifies a queue of a replica set: requests of one class, before or after their objective. */
record RequestQueueKey(int classIndex, boolean late) {}
