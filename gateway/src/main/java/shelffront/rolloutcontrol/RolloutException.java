package shelffront.rolloutcontrol;

import shelffront.coordination.OperatorException;

/**
 * What can be wrong with a call on stages; all kinds are listed in {@code
 * docs/operators/fleet-changes.md}.
 */
public abstract sealed class RolloutException extends OperatorException {

  private static final long serialVersionUID = 1L;

  private RolloutException(String code, String what, String advice) {
    super(code, what, advice, null);
  }

  /** There is no subject of this name. */
  public static final class UnknownSubject extends RolloutException {

    private static final long serialVersionUID = 1L;

    UnknownSubject(String subject) {
      super(
          "unknown-subject",
          "this gateway has no subject " + subject,
          "Name one of those under /fleet/subjects in its settings.");
    }
  }

  /** The subject has no stage of this name. */
  public static final class UnknownStage extends RolloutException {

    private static final long serialVersionUID = 1L;

    UnknownStage(String subject, String stage) {
      super(
          "unknown-stage",
          subject + " has no stage " + stage,
          "Name one of the subject's stages; give all gateways the same list, in the same order.");
    }
  }

  /** Somebody else changed the subject in the same moment. */
  public static final class Contended extends RolloutException {

    private static final long serialVersionUID = 1L;

    Contended(String subject) {
      super(
          "contended",
          subject + " was changed by another in the same moment",
          "Look where it stands now and ask again if that is still wanted.");
    }
  }
}
