package shelffront.routing;

/** What the embedding proxy does for the module. */
public interface RouterActions {

  /** Starts an attempt; {@code timeout} 0 means until the client gives up. */
  void startAttempt(String requestId, String member, long timeout);

  void cancelAttempt(String requestId, int attempt);

  /** Final answer: refused, a further try does no harm. {@code retryAfter} 0 means no advice. */
  void reject(String requestId, long retryAfter);

  /** Final answer: failed, with no promise about its effect. */
  void fail(String requestId);

  void checkHealth(String member);

  void setTimer(String name, long at);

  void watchEndpoints(boolean on);

  void fetchEndpoints();

  /** Sends a message to one peer, or to all for a negative number. */
  void sendToPeers(int peer, byte[] payload);

  void closeIdleConnections(String member);

  void log(String text);
}
