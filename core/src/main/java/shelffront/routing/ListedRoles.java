package shelffront.routing;

/** How the endpoint list reflects role changes. */
public enum ListedRoles {
  NONE,
  AT_START,
  LATE
}
