package shelffront.request;

import java.util.ArrayList;
import java.util.List;
import shelffront.pg.Statement;

/**
 * One request of a client, from the receipt of its last byte until its final response is delivered
 * and its last attempt has ended. Shared by the frontend and the backend; confined to the event
 * loop of its tenant.
 */
public final class ClientRequest {

  /**
   * Receives the final response of a request. Exactly one method is called, and only once, unless
   * the client has disconnected.
   */
  public interface ResponseListener {

    /**
     * Whether an attempt may start: not while the client may have left without having been noticed.
     */
    boolean mayStartAttempt();

    /** Delivers the messages of the database host unchanged, up to CommandComplete. */
    void onServed(byte[] messages);

    /** Rejects the request, of which nothing was executed. A Retry-After of 0 gives no advice. */
    void onRejected(long retryAfterMicros);

    /** Ends the request unserved because its tenant is being removed. Repeating it is safe. */
    void onUnavailable();

    /** Fails the request, which may or may not have been executed. */
    void onFailed();
  }

  public final String id;
  public final Statement statement;

  /** Time by which the client must have its final response, in Unix microseconds. */
  public final long deadlineMicros;

  public final int classIndex;
  public final ResponseListener responseListener;
  public final List<BackendAttempt> attempts = new ArrayList<>(2);

  /** Whether the final response was delivered or the client no longer waits for it. */
  public boolean completed;

  /** Creates a request without attempts. */
  public ClientRequest(
      String id,
      Statement statement,
      int classIndex,
      long deadlineMicros,
      ResponseListener responseListener) {
    this.id = id;
    this.statement = statement;
    this.classIndex = classIndex;
    this.deadlineMicros = deadlineMicros;
    this.responseListener = responseListener;
  }
}
