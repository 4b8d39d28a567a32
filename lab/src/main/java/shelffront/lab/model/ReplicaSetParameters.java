package shelffront.lab.model;

/**
 * The figures of a database set. Times are microseconds.
 *
 * @param cores requests that a warm box works on at a time
 * @param room requests that wait for a core; beyond them it turns away
 * @param connections that a box keeps at most
 * @param readWork the median of what a read takes a core
 * @param writeWork the same of a write
 * @param sigma of the log-normal distribution of work
 * @param handshake what a new connection takes a core
 * @param shipDelay after which the log is at the replicas
 * @param applyCost what a replica's one thread takes for an entry of the log
 * @param coldFrom part of its capacity that a box has when it starts
 * @param coldTime until it has all of it
 * @param election from the death of a primary to the next one, at least; up to twice that
 * @param handOver from the drain of a primary to the next one
 * @param window in which a repeated key is dropped
 * @param check what a replica does with a read for which it is too far behind
 * @param patience how long it waits for the position before it says no
 * @param fall the multiple of its present capacity that pushes a cold box over, kept up for {@code
 *     fallTime}
 * @param fallTime the length of that window
 * @param losesTail whether a replica is promoted without the log's end that it has not got
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

  /** What a replica does with a read for which it is too far behind. */
  public enum Check {
    SILENT,
    REFUSE,
    WAIT
  }
}
