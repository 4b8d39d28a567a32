package shelffront.admin;

import com.sun.net.httpserver.Headers;
import shelffront.admin.AdminTokens.Caller;

/** Identifies the caller of a request by its bearer token (RFC 6750). */
final class AdminAuthenticator {

  private static final String SCHEME = "Bearer ";

  private final AdminTokens tokens;

  AdminAuthenticator(AdminTokens tokens) {
    this.tokens = tokens;
  }

  /** Returns the caller; throws a problem with status 401 if the request has no valid token. */
  Caller authenticate(Headers headers) throws ProblemException {
    String authorization = headers.getFirst("Authorization");
    Caller caller =
        authorization == null || !authorization.startsWith(SCHEME)
            ? null
            : tokens.authenticate(authorization.substring(SCHEME.length()));
    if (caller == null) {
      throw new ProblemException(
          HttpStatus.UNAUTHORIZED, "Not authorized", "the request needs a valid bearer token");
    }
    return caller;
  }
}
