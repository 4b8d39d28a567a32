package shelffront.admin;

/** The status codes that the administration API uses (RFC 9110, RFC 6585). */
final class HttpStatus {

  static final int OK = 200;
  static final int CREATED = 201;
  static final int ACCEPTED = 202;
  static final int NO_CONTENT = 204;
  static final int BAD_REQUEST = 400;
  static final int UNAUTHORIZED = 401;
  static final int FORBIDDEN = 403;
  static final int NOT_FOUND = 404;
  static final int METHOD_NOT_ALLOWED = 405;
  static final int CONFLICT = 409;
  static final int PRECONDITION_FAILED = 412;
  static final int CONTENT_TOO_LARGE = 413;
  static final int UNPROCESSABLE_CONTENT = 422;
  static final int PRECONDITION_REQUIRED = 428;
  static final int TOO_MANY_REQUESTS = 429;
  static final int INTERNAL_SERVER_ERROR = 500;
  static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}

  /** Whether a status is a client error (4xx) or a server error (5xx). */
  static boolean isError(int status) {
    return status >= BAD_REQUEST;
  }
}
