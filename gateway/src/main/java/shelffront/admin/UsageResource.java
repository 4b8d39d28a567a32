package shelffront.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import shelffront.store.DocumentStore.Entry;
import shelffront.tenant.Tenant;
import shelffront.tenant.TenantSpecCodec;

/** {@code /v1/tenants/ID/usage}: a tenant's resource usage and counters, from its event loop. */
final class UsageResource {

  private static final int PATH_LENGTH = 3;
  private static final long TIMEOUT_SECONDS = 5;

  private final TenantAdministration administration;

  UsageResource(TenantAdministration administration) {
    this.administration = administration;
  }

  AdminResponse handle(AdminRequest request, Entry entry)
      throws ProblemException, InterruptedException {
    if (request.path().size() != PATH_LENGTH) {
      throw ProblemException.notFound();
    }
    request.requireMethod(AdminRequest.GET);
    Tenant.Usage usage = usage(entry.name());
    if (usage == null) {
      throw ProblemException.notFound();
    }
    ObjectNode body =
        TenantSpecCodec.JSON
            .createObjectNode()
            .put("id", entry.name())
            .put("clientConnections", usage.clientConnections())
            .put("openRequests", usage.openRequests())
            .put("hostConnections", usage.hostConnections())
            .put("bufferBytes", usage.bufferBytes());
    ObjectNode counters = body.putObject("counters");
    usage.counters().forEach((name, value) -> counters.put(name.toLowerCase(Locale.ROOT), value));
    return AdminResponse.of(HttpStatus.OK, body);
  }

  private Tenant.Usage usage(String tenantId) throws ProblemException, InterruptedException {
    try {
      return administration.usage(tenantId).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new ProblemException(
          HttpStatus.SERVICE_UNAVAILABLE,
          "Busy",
          "the tenant's event loop did not report usage within " + TIMEOUT_SECONDS + " s");
    }
  }
}
