package shelffront.rollout;

/**
 * A gateway's entry in the coordination store for one subject (a change that is rolled out in
 * stages). A gateway may apply a stage of the subject only while it has such an entry.
 *
 * @param epoch the last acknowledged epoch, or 0 if none; the gateway has no operation open under
 *     an older epoch
 * @param revoked whether a leader has ended the membership; the gateway's lease may still be valid
 */
public record Member(long epoch, boolean revoked) {

  /** Returns a copy that is marked as revoked. */
  public Member asRevoked() {
    return new Member(epoch, true);
  }
}
