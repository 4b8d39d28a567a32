package shelffront.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import shelffront.coordination.OperatorException;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;

/** {@code /v1/tokens}: creates, rotates and revokes administrators' tokens; for operators only. */
final class TokensResource implements AdminResource {

  private static final int TOKEN_PATH_LENGTH = 2;
  private static final int ACTION_PATH_LENGTH = 3;
  private static final long MILLIS_PER_SECOND = 1000;
  private static final long MAX_OVERLAP_MILLIS = 30L * 24 * 3600 * MILLIS_PER_SECOND;

  private final TenantAdministration administration;
  private final AdminTokens tokens;

  TokensResource(TenantAdministration administration, AdminTokens tokens) {
    this.administration = administration;
    this.tokens = tokens;
  }

  @Override
  public AdminResponse handle(AdminRequest request)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    request.requireOperator();
    List<String> path = request.path();
    if (path.size() == 1 && request.isMethod(AdminRequest.POST)) {
      return create(request);
    }
    if (path.size() == ACTION_PATH_LENGTH
        && path.get(2).equals("rotate")
        && request.isMethod(AdminRequest.POST)) {
      return rotate(request, path.get(1));
    }
    if (path.size() == TOKEN_PATH_LENGTH && request.isMethod(AdminRequest.DELETE)) {
      return revoke(request, path.get(1));
    }
    throw path.size() > ACTION_PATH_LENGTH
        ? ProblemException.notFound()
        : ProblemException.methodNotAllowed();
  }

  private AdminResponse create(AdminRequest request)
      throws ProblemException, SpecException, ConflictException, OperatorException {
    JsonNode tenant = request.document().path("tenant");
    boolean forOperator = tenant.isMissingNode() || tenant.isNull();
    if (!forOperator && (!tenant.isTextual() || administration.get(tenant.asText()) == null)) {
      throw ProblemException.invalidField("/tenant", "no such tenant");
    }
    String token = tokens.create(tenant.asText(null), request.caller().token());
    return AdminResponse.of(HttpStatus.CREATED, toJson(token));
  }

  private AdminResponse rotate(AdminRequest request, String tokenName)
      throws ProblemException, SpecException, ConflictException {
    long overlapMillis =
        request.body().length == 0
            ? 0
            : request.document().path("overlapSeconds").asLong(0) * MILLIS_PER_SECOND;
    long boundedMillis = Math.max(0, Math.min(MAX_OVERLAP_MILLIS, overlapMillis));
    String token = tokens.rotate(tokenName, boundedMillis, request.caller().token());
    if (token == null) {
      throw ProblemException.notFound();
    }
    return AdminResponse.of(HttpStatus.OK, toJson(token));
  }

  private AdminResponse revoke(AdminRequest request, String tokenName)
      throws ProblemException, ConflictException {
    if (!tokens.revoke(tokenName, request.caller().token())) {
      throw ProblemException.notFound();
    }
    return AdminResponse.of(HttpStatus.NO_CONTENT, null);
  }

  private static ObjectNode toJson(String token) {
    return TenantSpecCodec.JSON
        .createObjectNode()
        .put("id", token.substring(0, token.indexOf('.')))
        .put("token", token);
  }
}
