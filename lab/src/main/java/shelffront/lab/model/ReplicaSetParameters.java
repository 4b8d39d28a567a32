package shelffront.lab.model;

/**
 * The parameters of a replica set model. Times and amounts of work are in microseconds.
 *
 * @param cores number of requests that a fully warmed-up host executes concurrently
 * @param room queue capacity of a host; a request that finds the queue full is rejected
 * @param maximum number of open connections of a host
 * @param readWork median core time of a read
 * @param writeWork median core time of a write
 * @param sigma of the log-normal distribution of work; 0 for constant work
 * @param handshake core time of establishing a connection
 * @param shipDelay delay until a log entry reaches the replicas
 * @param applyCost time that a replica's single apply thread takes for one log entry
 * @param coldFrom capacity fraction of a host directly after its start
 * @param coldTime time from the start of a host until it has its full capacity
 * @param election minimum time from the failure of a primary to the election of the next one; the
 *     maximum is twice that
 * @param handOver time from the drain of a primary to the promotion of the next one
 * @param deduplication window, in which a write with a known key is not executed again
 * @param check how a replica handles a read that requires a later position than it has applied
 * @param patience maximum time that a replica waits for the required position before it rejects a
 *     read
 * @param fall multiple of its current capacity at which a host that warms up is overloaded, if the
 *     work within {@code fallTime} exceeds it
 * @param fallTime length of the window for {@code fall}
 * @param losesTail whether the promotion of a replica discards log entries that it has not received
 */
public record ReplicaSetParameters(
    int cores,
    int room,
    int connections,
    long readWork,
    long writeWork,
    double sigma,
    long handshake,
    long shipDelay,
    long applyCost,
    double coldFrom,
    long coldTime,
    long election,
    long handOver,
    long window,
    Check check,
    long patience,
    double fall,
    long fallTime,
    boolean losesTail) {

  /** How a replica handles a read that requires a later position than it has applied. */
  public enum Check {
    /** Serves the read from its stale data. */
    SILENT,
    /** Rejects the read. */
    REFUSE,
    /** Waits for the position up to {@code patience}, then rejects the read. */
    WAIT
  }
}
