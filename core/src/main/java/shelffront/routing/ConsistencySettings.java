package shelffront.routing;

/**
 * How hosts, responses and clients take part in keeping reads consistent.
 *
 * @param lagCheck what a replica does with a read that it is too far behind for
 * @param lagWaitMicros how long a replica waits for what it lacks, with {@link LagCheck#WAIT}
 * @param responsesCarryPosition whether a response tells the position of its host
 * @param clientsCarryPosition whether a client sends the position of its session's last write
 */
public record ConsistencySettings(
    LagCheck lagCheck,
    long lagWaitMicros,
    boolean responsesCarryPosition,
    boolean clientsCarryPosition) {}
