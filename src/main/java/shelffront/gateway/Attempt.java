package shelffront.gateway;

/** One try of a request at one database host. */
public final class Attempt {

    public final Exchange exchange;
    public final String member;
    public final long startedAt;
    /** When a connection was there and the request was written to it; its start until then. */
    public long sentAt;
    final int number;
    boolean out = true;

    Attempt(Exchange exchange, String member, long startedAt) {
        this.exchange = exchange;
        this.member = member;
        this.startedAt = startedAt;
        this.sentAt = startedAt;
        this.number = exchange.attempts.size();
    }
}
