package shelffront.decision;

import java.util.ArrayList;
import java.util.List;
import shelffront.routing.RouterActions;

/** Records what the module asks for, one plain line an action, and the timers it set. */
final class RecordingActions implements RouterActions {

  record Timer(String name, long at) {}

  final List<String> lines = new ArrayList<>();
  final List<Timer> timers = new ArrayList<>();

  @Override
  public void startAttempt(String requestId, String member, long timeout) {
    lines.add("send " + requestId + " " + member);
  }

  @Override
  public void cancelAttempt(String requestId, int attempt) {
    lines.add("cancel " + requestId + " " + attempt);
  }

  @Override
  public void reject(String requestId, long retryAfter) {
    lines.add("reject " + requestId);
  }

  @Override
  public void fail(String requestId) {
    lines.add("fail " + requestId);
  }

  @Override
  public void checkHealth(String member) {
    lines.add("probe " + member);
  }

  @Override
  public void setTimer(String name, long at) {
    timers.add(new Timer(name, at));
  }

  @Override
  public void watchEndpoints(boolean on) {
    lines.add("subscribe " + on);
  }

  @Override
  public void fetchEndpoints() {
    lines.add("fetchList");
  }

  @Override
  public void sendToPeers(int peer, byte[] payload) {
    lines.add("tell " + peer);
  }

  @Override
  public void closeIdleConnections(String member) {
    lines.add("closeIdle " + member);
  }

  @Override
  public void log(String text) {
    lines.add("log " + text);
  }
}
