package shelffront.rolloutcontrol;

import shelffront.coordination.OperatorException;

/**
 * An invalid or conflicting request for a rollout. The codes are documented in {@code
 * docs/operators/fleet-changes.md}.
 */
public abstract sealed class RolloutException extends OperatorException {

  private static final long serialVersionUID = 1L;

  private RolloutException(String code, String what, String advice) {
    super(code, what, advice, null);
  }

  /** No subject has this name. */
  public static final class UnknownSubject extends RolloutException {

    private static final long serialVersionUID = 1L;

    UnknownSubject(String subject) {
      super(
          "unknown-subject",
          "this gateway has no subject named " + subject,
          "Use one of the subjects under /fleet/subjects in the gateway's settings.");
    }
  }

  /** The subject has no stage of this name. */
  public static final class UnknownStage extends RolloutException {

    private static final long serialVersionUID = 1L;

    UnknownStage(String subject, String stage) {
      super(
          "unknown-stage",
          "subject " + subject + " has no stage named " + stage,
          "Use one of the subject's configured stages. All gateways must have the same list of"
              + " stages in the same order.");
    }
  }

  /** The subject was modified concurrently. */
  public static final class Contended extends RolloutException {

    private static final long serialVersionUID = 1L;

    Contended(String subject) {
      super(
          "contended",
          "subject " + subject + " was modified concurrently; nothing was changed",
          "Read the subject's status and repeat the request if it is still needed.");
    }
  }
}
