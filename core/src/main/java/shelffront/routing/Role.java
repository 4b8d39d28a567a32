package shelffront.routing;

/** Role of a host in its replica set; {@code UNKNOWN} if a message did not state it. */
public enum Role {
  UNKNOWN,
  PRIMARY,
  REPLICA
}
