package shelffront.consistency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import shelffront.routing.Role;
import shelffront.routing.RoleReport;

/** Tests reports of hosts that are not in the set; RoleTrackerTest draws all others. */
class ReplicaSetRolesTest {

  private final ReplicaSetRoles roles = new ReplicaSetRoles();

  /** Guards against a primary that the list does not name. */
  @Test
  void takesNoProofOfHostThatHasLeft() {
    RoleReport proof = new RoleReport(Role.PRIMARY, 7, 8);
    roles.recordListed("m1", false, false, 1);
    roles.recordRemoved("m1");
    roles.record("m1", proof);
    assertNull(roles.primaryId());
    roles.recordListed("m1", false, true, 5);
    roles.record("m1", proof);
    assertEquals("m1", roles.primaryId());
  }
}
