package shelffront.routing;

/** How the endpoint list follows changes of roles. */
public enum ListedRoles {
  NONE,
  AT_START,
  LATE
}
