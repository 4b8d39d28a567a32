package shelffront.routing;

/**
 * How hosts, responses and clients support consistent reads.
 *
 * @param lagCheck how a replica handles a read whose required position it has not reached
 * @param lagWaitMicros how long a replica waits to reach the required position, with {@link
 *     LagCheck#WAIT}
 * @param responsesCarryPosition whether a response states the position of its host
 * @param clientsCarryPosition whether a request carries the position of its session's last write
 */
public record ConsistencySettings(
    LagCheck lagCheck,
    long lagWaitMicros,
    boolean responsesCarryPosition,
    boolean clientsCarryPosition) {}
