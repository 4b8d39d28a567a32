package shelffront.controlplane;

/** The HTTP statuses that distributors answer with. */
final class HttpStatus {

  static final int OK = 200;
  static final int CREATED = 201;
  static final int NO_CONTENT = 204;

  /** Statuses from here on are no success. */
  static final int FIRST_ERROR = 300;

  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;

  /** The distributor forgot the subscription, or never had it. */
  static final int UNKNOWN_SUBSCRIPTION = NOT_FOUND;

  /** The distributor is behind the subscriber's version. */
  static final int BEHIND = 409;

  static final int TOO_LARGE = 413;

  /** The distributor has just started, or has as many subscriptions as it takes. */
  static final int NOT_READY = 503;

  private HttpStatus() {}
}
