package shelffront.controlplane;

/** The HTTP status codes of the responses of distributors. */
final class HttpStatus {

  static final int OK = 200;
  static final int CREATED = 201;
  static final int NO_CONTENT = 204;

  /** Status codes below this one are a success. */
  static final int FIRST_ERROR = 300;

  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;

  /** The subscription has expired, or never existed. */
  static final int UNKNOWN_SUBSCRIPTION = NOT_FOUND;

  /** The distributor's version is older than the subscriber's. */
  static final int BEHIND_SUBSCRIBER = 409;

  static final int TOO_LARGE = 413;

  /**
   * The distributor has not received its first snapshot, or has reached its limit of subscriptions.
   */
  static final int NOT_READY = 503;

  private HttpStatus() {}
}
