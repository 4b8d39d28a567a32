package shelffront.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import shelffront.admin.AdminTokens.Caller;
import shelffront.store.DocumentStore.AuditEntry;
import shelffront.tenant.TenantSpecCodec;

/**
 * {@code /v1/changes}: a long poll for changes of tenants and the times at which they came into
 * force. Each poll holds one of the server's threads, so the number of open polls is limited for
 * each token and in total.
 */
final class ChangesResource implements AdminResource {

  private static final int MAX_POLLS = 16;
  private static final int MAX_POLLS_PER_TOKEN = 4;
  private static final long MAX_WAIT_MILLIS = 60_000;
  private static final long MILLIS_PER_SECOND = 1000;

  private final TenantAdministration administration;
  private final Semaphore polls = new Semaphore(MAX_POLLS);
  private final Map<String, Integer> pollsByToken = new ConcurrentHashMap<>();

  ChangesResource(TenantAdministration administration) {
    this.administration = administration;
  }

  @Override
  public AdminResponse handle(AdminRequest request) throws ProblemException, InterruptedException {
    request.requireMethod(AdminRequest.GET);
    long after = request.queryNumber("after", 0);
    long waitMillis = waitMillis(request);
    Caller caller = request.caller();
    startPoll(caller);
    try {
      return changes(caller, after, Math.min(MAX_WAIT_MILLIS, waitMillis));
    } finally {
      polls.release();
      removePoll(caller);
    }
  }

  private static long waitMillis(AdminRequest request) throws ProblemException {
    String wait = request.queryText("wait", "0s");
    if (!wait.matches("[0-9]{1,4}(ms|s)")) {
      throw ProblemException.badRequest(
          "query parameter wait is not a duration of at most 4 digits in s or ms, such as 30s");
    }
    return wait.endsWith("ms")
        ? Long.parseLong(wait.substring(0, wait.length() - 2))
        : MILLIS_PER_SECOND * Long.parseLong(wait.substring(0, wait.length() - 1));
  }

  private void startPoll(Caller caller) throws ProblemException {
    boolean withinTokenLimit =
        pollsByToken.merge(caller.token(), 1, Integer::sum) <= MAX_POLLS_PER_TOKEN;
    if (!withinTokenLimit || !polls.tryAcquire()) {
      removePoll(caller);
      throw new ProblemException(
          HttpStatus.TOO_MANY_REQUESTS,
          "Too many polls",
          "at most "
              + MAX_POLLS_PER_TOKEN
              + " polls of one token and "
              + MAX_POLLS
              + " in total may be open at a time; retry later");
    }
  }

  private void removePoll(Caller caller) {
    pollsByToken.computeIfPresent(caller.token(), (token, count) -> count == 1 ? null : count - 1);
  }

  private AdminResponse changes(Caller caller, long after, long waitMillis)
      throws InterruptedException {
    ObjectNode body = TenantSpecCodec.JSON.createObjectNode();
    ArrayNode changes = body.putArray("changes");
    for (AuditEntry entry : administration.changes(after, waitMillis, caller.tenant())) {
      ObjectNode change =
          changes
              .addObject()
              .put("revision", entry.revision())
              .put("id", entry.name())
              .put("what", entry.action());
      long inForceAtMillis = administration.inForceAtMillis(entry.revision());
      if (inForceAtMillis > 0) {
        change.put("inForce", inForceAtMillis);
      }
    }
    return AdminResponse.of(HttpStatus.OK, body);
  }
}
