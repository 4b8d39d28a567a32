package shelffront.routing;

/** What a member is, as far as a message told. */
public enum Role {
  UNKNOWN,
  PRIMARY,
  REPLICA
}
