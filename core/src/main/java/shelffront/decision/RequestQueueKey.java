package shelffront.decision;

/** Names one of a replica set's queues: requests of one class, before or after its objective. */
record RequestQueueKey(int classIndex, boolean late) {}
