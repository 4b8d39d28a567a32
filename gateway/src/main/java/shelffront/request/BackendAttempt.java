package shelffront.request;

/**
 * One attempt of a request at one database host. Owned by the loop thread of the request's tenant;
 * the backend sets when it was sent, the tenant whether it is outstanding.
 */
public final class BackendAttempt {

  public final ClientRequest request;
  public final String endpointId;

  /** When a connection was there and the request was written to it; until then when it began. */
  public long sentAtMicros;

  public final int number;

  /** Until its outcome was told. */
  public boolean outstanding = true;

  /** The next attempt of the request, which does not contain it yet. */
  public BackendAttempt(ClientRequest request, String endpointId, long nowMicros) {
    this.request = request;
    this.endpointId = endpointId;
    this.sentAtMicros = nowMicros;
    this.number = request.attempts.size();
  }
}
