package shelffront.gateway;

/** One try of a request at one database host. */
public final class Attempt {

    public final Exchange exchange;
    public final String member;
    public final long startedAt;
    final int number;
    boolean out = true;

    Attempt(Exchange exchange, String member, long startedAt) {
        this.exchange = exchange;
        this.member = member;
        this.startedAt = startedAt;
        this.number = exchange.attempts.size();
    }
}
