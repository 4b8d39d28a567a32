package shelffront.decision;

import java.util.ArrayList;
import java.util.List;
import shelffront.routing.RouterActions;

/** Records the actions that the decision module requests, one line each, and the timers it sets. */
final class RecordingActions implements RouterActions {

  record Timer(String name, long atMicros) {}

  final List<String> lines = new ArrayList<>();
  final List<Timer> timers = new ArrayList<>();

  @Override
  public void startAttempt(String requestId, String endpointId, long timeoutMicros) {
    lines.add("send " + requestId + " " + endpointId);
  }

  @Override
  public void cancelAttempt(String requestId, int attemptNumber) {
    lines.add("cancel " + requestId + " " + attemptNumber);
  }

  @Override
  public void reject(String requestId, long retryAfterMicros) {
    lines.add("reject " + requestId);
  }

  @Override
  public void fail(String requestId) {
    lines.add("fail " + requestId);
  }

  @Override
  public void checkHealth(String endpointId) {
    lines.add("checkHealth " + endpointId);
  }

  @Override
  public void setTimer(String name, long atMicros) {
    timers.add(new Timer(name, atMicros));
  }

  @Override
  public void watchEndpoints(boolean enabled) {
    lines.add("watchEndpoints " + enabled);
  }

  @Override
  public void fetchEndpoints() {
    lines.add("fetchEndpoints");
  }

  @Override
  public void sendToPeers(int gatewayIndex, byte[] payload) {
    lines.add("sendToPeers " + gatewayIndex);
  }

  @Override
  public void closeIdleConnections(String endpointId) {
    lines.add("closeIdle " + endpointId);
  }

  @Override
  public void log(String text) {
    lines.add("log " + text);
  }
}
