package shelffront.consistency;

import static shelffront.routing.Router.UNKNOWN;

import java.util.HashMap;
import java.util.Map;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;

/**
 * Determines which host of a replica set is the primary, and whether it may serve reads whose
 * freshness no position proves.
 *
 * <p>What tells a role, and as of when: a {@link RoleReport} of the host itself, as of the time
 * that it proves. The endpoint list tells a role as of an unknown time.
 *
 * <p>What wins:
 *
 * <ul>
 *   <li>A host is the primary once a report proves that it was primary at a later time than any to
 *       which a report of it as a replica, or a report of another host as the primary, can refer.
 *   <li>A report of the primary as a replica ends that, unless it is proved to be older than the
 *       proof that the host is primary, as that in a load report may be by its position. Where the
 *       order is not proved, the host is a replica.
 *   <li>The list decides only until a host of the set has proved or lost the role. A host that the
 *       list names as primary gets writes, which a replica rejects unexecuted. It gets unchecked
 *       reads only if no report about it can have been missed, and none has named it a replica.
 * </ul>
 *
 * <p>Whatever happens to the entry of a host: the primary stays the presumed one while it drains or
 * is not listed, until a report contradicts it or another host proves to be primary, so that it
 * gets writes again as soon as it returns. It may have handed over unseen meanwhile, so it gets
 * unchecked reads once it has proved its role anew, where hosts can be asked for it. A host that is
 * listed in another set is no primary of this one. What is known of a host is forgotten when it
 * leaves the set; if it joins again, only what is proved to be later than that counts as a proof
 * that it is primary.
 *
 * <p>Whatever happens to the gateway: where another router of the same hosts has received reports,
 * or this one has been suspended, only what is proved to be later counts.
 *
 * <p>Invariants: one entry for each host of the set, and one for the primary, whatever the list has
 * named before. Times are microseconds. Not thread-safe.
 */
public final class ReplicaSetRoles {

  /**
   * For each host of the set: the time from which a proof that it is primary is later than all
   * reports of it as a replica.
   */
  private final Map<String, Long> replicaUntilMicros = new HashMap<>();

  private String primaryId;
  private boolean primaryTrusted;

  /** Latest time at which a host is proved to have been primary. */
  private long provenAtMicros = UNKNOWN;

  /** Whether a host has proved or lost the role, so that the list does not decide any more. */
  private boolean decidedByReports;

  /** Returns the id of the presumed primary, which may be draining or not listed; null if none. */
  public String primaryId() {
    return primaryId;
  }

  /** Whether the presumed primary may serve reads that no position proves to be fresh. */
  public boolean isPrimaryTrusted() {
    return primaryTrusted;
  }

  /**
   * Records that the list names a host as ready.
   *
   * @param reportsMissed whether reports about a host that was not in the set may have been missed
   */
  public void recordListed(
      String hostId, boolean listedAsPrimary, boolean reportsMissed, long nowMicros) {
    replicaUntilMicros.putIfAbsent(hostId, reportsMissed ? nowMicros : UNKNOWN);
    if (listedAsPrimary && !decidedByReports && !hostId.equals(primaryId)) {
      primaryId = hostId;
      primaryTrusted = replicaUntilMicros.get(hostId) == UNKNOWN;
    }
  }

  /**
   * Records that reports about the hosts of the set may have been missed until now. The primary is
   * still the presumed one, but only what is proved to be later lets it serve unchecked reads.
   */
  public void recordMissedReports(long nowMicros) {
    replicaUntilMicros.replaceAll((hostId, untilMicros) -> Math.max(untilMicros, nowMicros));
    primaryTrusted = false;
  }

  /**
   * Records that a host of the set is listed as ready again after a drain, a removal or a restart,
   * during which it may have handed over its role unseen.
   */
  public void recordReturned(String hostId, long nowMicros) {
    replicaUntilMicros.computeIfPresent(
        hostId, (id, untilMicros) -> Math.max(untilMicros, nowMicros));
    if (hostId.equals(primaryId)) {
      primaryTrusted = false;
    }
  }

  /** Records that a host has left the set. */
  public void recordRemoved(String hostId) {
    replicaUntilMicros.remove(hostId);
  }

  /** Records that the list names a host in another set. */
  public void recordMoved(String hostId) {
    replicaUntilMicros.remove(hostId);
    if (hostId.equals(primaryId)) {
      forgetPrimary();
    }
  }

  /** Records a report about a host, which may have left the set in the meantime. */
  public void record(String hostId, RoleReport report) {
    if (report.role() == Role.PRIMARY) {
      recordPrimary(hostId, report);
    } else if (report.role() == Role.REPLICA) {
      recordReplica(hostId, report);
    }
  }

  private void recordPrimary(String hostId, RoleReport report) {
    Long untilMicros = replicaUntilMicros.get(hostId);
    if (untilMicros == null || report.earliestMicros() < untilMicros) {
      return;
    }
    if (!hostId.equals(primaryId)) {
      if (report.earliestMicros() < provenAtMicros) {
        return;
      }
      primaryId = hostId;
    }
    primaryTrusted = true;
    decidedByReports = true;
    provenAtMicros = Math.max(provenAtMicros, report.earliestMicros());
  }

  private void recordReplica(String hostId, RoleReport report) {
    if (hostId.equals(primaryId)) {
      if (report.latestMicros() < provenAtMicros) {
        return;
      }
      forgetPrimary();
      decidedByReports = true;
    }
    replicaUntilMicros.replace(
        hostId, Math.max(report.latestMicros(), replicaUntilMicros.getOrDefault(hostId, UNKNOWN)));
  }

  private void forgetPrimary() {
    primaryId = null;
    primaryTrusted = false;
  }
}
