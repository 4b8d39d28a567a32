package shelffront.net;

import java.util.Locale;

/** Why a connection ended; the code in its log line. */
public enum CloseReason {
  PEER_CLOSED,
  PEER_RESET,
  TERMINATED,
  CONNECT_FAILED,
  CONNECT_TIMEOUT,
  STARTUP_TIMEOUT,
  IDLE,
  EVICTED,
  WRITE_STALLED,
  MALFORMED,
  TOO_LARGE,
  NO_MEMORY,
  REFUSED_BY_HOST,
  CANCELLED,
  TIMED_OUT,
  GIVEN_BACK,
  LEFT_LIST,
  ANSWERED,
  SILENT,
  REPLACED,
  BAD_ANSWER,
  SURPLUS,
  FAULT,
  DRAINED,
  NO_PLACE,
  NO_TENANT,
  TENANT_FULL,
  TENANT_GONE;

  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
