package shelffront.admin;

import java.util.Map;
import shelffront.controlplane.DistributionException.RecordTooLarge;
import shelffront.coordination.OperatorException;
import shelffront.rolloutcontrol.RolloutException;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.tenant.TenantSpecCodec.SpecException;

/**
 * Routes each request to the resource that its path names, and converts the exceptions of resources
 * to problems (RFC 9457).
 */
final class AdminRouter {

  private final Map<String, AdminResource> resources;

  AdminRouter(
      DocumentStore store,
      TenantAdministration administration,
      AdminTokens tokens,
      FleetResource fleet) {
    resources =
        Map.of(
            "tenants", new TenantsResource(administration),
            "audit", new AuditResource(store),
            "changes", new ChangesResource(administration),
            "tokens", new TokensResource(administration, tokens),
            "export", request -> export(store, request),
            "subjects", fleet::subjects,
            "distribution", fleet::distribution);
  }

  private static AdminResponse export(DocumentStore store, AdminRequest request)
      throws ProblemException {
    request.requireMethod(AdminRequest.GET);
    request.requireOperator();
    return AdminResponse.of(HttpStatus.OK, store.export());
  }

  AdminResponse route(AdminRequest request) throws ProblemException, InterruptedException {
    AdminResource resource = resources.get(request.path().get(0));
    if (resource == null) {
      throw ProblemException.notFound();
    }
    try {
      return resource.handle(request);
    } catch (OperatorException e) {
      throw new ProblemException(status(e), e.code(), e.getMessage() + ". " + e.advice());
    } catch (SpecException e) {
      throw ProblemException.invalid(e);
    } catch (ConflictException e) {
      throw ProblemException.preconditionFailed(
          "the document is no longer at the revision that the request expects", e.currentEntry());
    }
  }

  private static int status(OperatorException failure) {
    if (failure instanceof RolloutException.Contended) {
      return HttpStatus.CONFLICT;
    }
    if (failure instanceof RolloutException.UnknownSubject) {
      return HttpStatus.NOT_FOUND;
    }
    return failure instanceof RolloutException || failure instanceof RecordTooLarge
        ? HttpStatus.UNPROCESSABLE_CONTENT
        : HttpStatus.SERVICE_UNAVAILABLE;
  }
}
