package shelffront.request;

/** One try of a request at one database host. */
public final class BackendAttempt {

  public final ClientRequest request;
  public final String endpointId;

  /** When a connection was there and the request was written to it; until then when it began. */
  public long sentAtMicros;

  public final int number;

  /** Until its outcome was told. */
  public boolean outstanding = true;

  public BackendAttempt(ClientRequest exchange, String member, long now) {
    this.request = exchange;
    this.endpointId = member;
    this.sentAtMicros = now;
    this.number = exchange.attempts.size();
  }
}
