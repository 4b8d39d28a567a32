package shelffront.request;

/**
 * One forwarding of a request to one endpoint. Confined to the event loop of the request's tenant.
 * The backend sets {@link #sentAtMicros}, and the tenant sets {@link #outstanding}.
 */
public final class BackendAttempt {

  public final ClientRequest request;
  public final String endpointId;

  /**
   * Time at which the request was written to a connection; before that, the time at which the
   * attempt was created.
   */
  public long sentAtMicros;

  /** Index of this attempt in {@link ClientRequest#attempts}. */
  public final int number;

  /** True until the outcome of the attempt is known. */
  public boolean outstanding = true;

  /**
   * Creates the next attempt of a request. The caller adds it to {@link ClientRequest#attempts}.
   */
  public BackendAttempt(ClientRequest request, String endpointId, long nowMicros) {
    this.request = request;
    this.endpointId = endpointId;
    this.sentAtMicros = nowMicros;
    this.number = request.attempts.size();
  }
}
