package shelffront.request;

import java.util.ArrayList;
import java.util.List;
import shelffront.pg.Statement;

/**
 * One request from its last byte to its final answer and the end of its last attempt. The only
 * thing that the client side and the server side both know.
 */
public final class ClientRequest {

  /**
   * Where the final answer goes; each request gets exactly one call, unless its client has left.
   */
  public interface ResponseListener {

    /** The database host's messages as it sent them, up to CommandComplete. */
    void onServed(byte[] messages);

    /** Refused untouched; 0 means no advice when to come again. */
    void onRejected(long retryAfterMicros);

    /** Refused untouched, since what was asked is being taken out of service. */
    void onUnavailable();

    void onFailed();
  }

  public final String id;
  public final Statement statement;

  /** By this time the client has its answer; Unix microseconds, as are all times. */
  public final long deadlineMicros;

  public final int classIndex;
  public final ResponseListener responseListener;
  public final List<BackendAttempt> attempts = new ArrayList<>(2);

  /** Its final answer was given, or nobody waits for it any more. */
  public boolean answered;

  /** A request without attempts. */
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
