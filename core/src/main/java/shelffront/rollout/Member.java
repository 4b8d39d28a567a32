package shelffront.rollout;

/**
 * A gateway that may act on a subject, as the engine keeps it.
 *
 * @param epoch that it has acknowledged: nothing of it acts under an older one; 0 before the first
 * @param revoked whether an owner has put an end to its membership; its lease may still run
 */
public record Member(long epoch, boolean revoked) {

  public Member asRevoked() {
    return new Member(epoch, true);
  }
}
