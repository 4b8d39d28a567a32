package shelffront.rollout;

/**
 * A gateway that may act on a subject, as the coordination store keeps it.
 *
 * @param epoch that it has acknowledged: no operation of it is open under an older one; 0 before
 *     the first
 * @param revoked whether a leader has ended its membership; its lease may still run
 */
public record Member(long epoch, boolean revoked) {

  /** The same, its membership ended. */
  public Member asRevoked() {
    return new Member(epoch, true);
  }
}
