package shelffront.controlplane;

import shelffront.coordination.OperatorException;
import shelffront.distribution.Version;

/** An error of distribution; {@code docs/operators/distribution.md} lists all kinds. */
public abstract sealed class DistributionException extends OperatorException {

  private static final long serialVersionUID = 1L;

  private DistributionException(String code, String message, String advice, Throwable cause) {
    super(code, message, advice, cause);
  }

  /**
   * The coordination store is behind a version that it served before, or its history does not
   * contain that version.
   */
  public static final class EngineSteppedBack extends DistributionException {

    private static final long serialVersionUID = 1L;

    EngineSteppedBack(Version stored, Version known) {
      super(
          "engine-stepped-back",
          "the coordination store is at version "
              + format(stored)
              + ", whose history does not continue from version "
              + format(known)
              + " that it served before",
          "The coordination store was restored from older data. All processes keep serving the"
              + " records that they have, and changes are rejected. Check the records in the store;"
              + " once they are the intended ones, start a new incarnation with POST"
              + " /v1/distribution/incarnation.",
          null);
    }
  }

  /** The view is older than the configured limit. */
  public static final class ViewTooOld extends DistributionException {

    private static final long serialVersionUID = 1L;

    ViewTooOld(long ageMillis, long boundMillis) {
      super(
          "view-too-old",
          (ageMillis < 0
                  ? "the configuration has not been confirmed as current since the start"
                  : "the configuration was last confirmed as current " + ageMillis + " ms ago")
              + ", the limit is "
              + boundMillis
              + " ms",
          "Check the distributors of this zone and region, then the coordination store. The"
              + " gateway keeps serving the records that it has.",
          null);
    }
  }

  /** A record is not valid at the gateway that received it and was not applied. */
  public static final class RecordRejected extends DistributionException {

    private static final long serialVersionUID = 1L;

    RecordRejected(String name, Version version, String reason) {
      super(
          "record-rejected",
          "record " + name + " at version " + format(version) + " is not valid: " + reason,
          "The previous state of the record stays in force. Write a valid record, and check that"
              + " all gateways run a build that knows its format.",
          null);
    }
  }

  /** A document exceeds the maximum length that the coordination store accepts. */
  public static final class RecordTooLarge extends DistributionException {

    private static final long serialVersionUID = 1L;

    RecordTooLarge(String name, int characters) {
      super(
          "record-too-large",
          "the document of record "
              + name
              + " has "
              + characters
              + " characters, the limit is "
              + ChangeStore.MAX_DOCUMENT_CHARACTERS,
          "List fewer hosts in the document, or have the hosts come from discovery.",
          null);
    }
  }

  /** This gateway has no coordination store configured and cannot make changes. */
  public static final class NoEngine extends DistributionException {

    private static final long serialVersionUID = 1L;

    /** Creates the error; its message has no variable part. */
    public NoEngine() {
      super(
          "no-engine",
          "this gateway has no coordination store in its settings (\"engine\")",
          "Send the change to a gateway that has the setting \"engine\".",
          null);
    }
  }

  /** The limit of names whose lookup is pending at a gateway has been reached. */
  public static final class LookupsFull extends DistributionException {

    private static final long serialVersionUID = 1L;

    LookupsFull(int waiting) {
      super(
          "lookups-full",
          waiting + " names are waiting for a response from a distributor",
          "Check the distributors; if they respond, find the clients that request many databases"
              + " that do not exist.",
          null);
    }
  }

  /** A distributor did not respond in time, or the connection to it failed. */
  public static final class DistributorUnreachable extends DistributionException {

    private static final long serialVersionUID = 1L;

    DistributorUnreachable(String address, Throwable cause) {
      super(
          "distributor-unreachable",
          "the distributor at " + address + " does not respond: " + cause,
          "No action is needed while other distributors respond. Otherwise check the distributor"
              + " processes and the network path to them.",
          cause);
    }
  }

  /** A distributor responded with an HTTP status that is not a success. */
  public static final class DistributorRefused extends DistributionException {

    private static final long serialVersionUID = 1L;

    private final int status;

    DistributorRefused(String address, int status) {
      super(
          "distributor-refused",
          "the distributor at " + address + " responded with HTTP status " + status,
          "No action is needed if the distributor has just started or is behind. Otherwise check"
              + " its log and its number of subscriptions.",
          null);
      this.status = status;
    }

    /** The HTTP status. */
    public int status() {
      return status;
    }
  }

  /** A message or a file of distribution is malformed. */
  public static final class DistributionGarbled extends DistributionException {

    private static final long serialVersionUID = 1L;

    DistributionGarbled(String message, Throwable cause) {
      super(
          "distribution-garbled",
          message,
          "Check that all distributors and gateways run builds that know this format.",
          cause);
    }
  }

  private static String format(Version version) {
    return version.incarnation() + "." + version.sequence();
  }
}
