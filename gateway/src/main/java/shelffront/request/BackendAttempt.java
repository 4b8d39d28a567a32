package shelffront.request;

/** One try of a request at one database host. */
public final class BackendAttempt {

  public final ClientRequest exchange;
  public final String member;

  /** When a connection was there and the request was written to it; until then when it began. */
  public long sentAt;

  public final int number;

  /** Until its outcome was told. */
  public boolean out = true;

  public BackendAttempt(ClientRequest exchange, String member, long now) {
    this.exchange = exchange;
    this.member = member;
    this.sentAt = now;
    this.number = exchange.attempts.size();
  }
}
