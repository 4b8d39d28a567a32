package shelffront.routing;

/** Role of a host in its replica set, as far as a message told. */
public enum Role {
  UNKNOWN,
  PRIMARY,
  REPLICA
}
