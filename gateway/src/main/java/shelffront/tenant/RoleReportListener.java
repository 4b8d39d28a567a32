package shelffront.tenant;

import shelffront.routing.RoleReport;

/** Receives what hosts report about their roles to the router of another tenant. */
@FunctionalInterface
public interface RoleReportListener {

  /** Reports what the host with this endpoint id has told about its role. */
  void onRoleReport(String endpointId, RoleReport report);
}
