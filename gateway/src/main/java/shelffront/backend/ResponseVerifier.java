package shelffront.backend;

/**
 * Decides whether a complete response on a connection belongs to the active call.
 *
 * <p>A host may write a second copy of a response directly behind it. Its system may hold the copy
 * back until the next request has arrived, so that the copy seems to be the response to that
 * request. A host processes the queries of a connection in order: whatever belongs to an earlier
 * query arrives before the response to the active one, and repeats the last verified response. So a
 * response that differs from that one belongs to the active call. One that equals it is ambiguous,
 * and an empty query is sent behind the call: if the response to that query follows, the ambiguous
 * response belongs to the call; if another response comes first, the ambiguous one was a copy.
 *
 * <p>Invariant: when a call ends with a verified response and the connection is used again, only
 * copies of {@link #lastChecksum} may still arrive. Runs on the loop thread.
 */
final class ResponseVerifier {

  /** No response has been verified yet. Checksums of responses are not negative. */
  private static final long NONE = -1;

  /** The last verified response is that to an empty query. */
  private static final long EMPTY_QUERY = -2;

  private final Runnable emptyQuerySender;
  private long lastChecksum = NONE;

  /** Waits for the response to the empty query; null if none was sent for the active call. */
  private QueryResponse ambiguous;

  /** Creates a verifier; {@code emptyQuerySender} writes an empty query to the host. */
  ResponseVerifier(Runnable emptyQuerySender) {
    this.emptyQuerySender = emptyQuerySender;
  }

  /** Whether the host may send the response to an empty query, or a second copy of one. */
  boolean allowsEmptyQueryResponse() {
    return isCheckOutstanding() || lastChecksum == EMPTY_QUERY;
  }

  /** Whether an empty query was sent and its response has not arrived. */
  boolean isCheckOutstanding() {
    return ambiguous != null;
  }

  /** Size of the messages of the ambiguous response, in bytes. */
  int heldBytes() {
    return ambiguous == null ? 0 : ambiguous.keptBytes();
  }

  /**
   * Judges the next response on the connection.
   *
   * @return the response that belongs to the active call, or null if more responses must arrive
   *     first. If {@link #isCheckOutstanding} is true afterwards, the connection must not be used
   *     for another call.
   */
  QueryResponse verify(QueryResponse response) {
    if (response.isToEmptyQuery()) {
      QueryResponse confirmed = ambiguous;
      ambiguous = null;
      lastChecksum = EMPTY_QUERY;
      return confirmed;
    }
    if (response.checksum() != lastChecksum) {
      lastChecksum = response.checksum();
      return response;
    }
    if (ambiguous == null) {
      emptyQuerySender.run();
    }
    ambiguous = response;
    return null;
  }
}
