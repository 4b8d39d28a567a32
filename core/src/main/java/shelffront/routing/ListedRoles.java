package shelffront.routing;

/** How the list of members follows the roles. */
public enum ListedRoles {
  NONE,
  AT_START,
  LATE
}
