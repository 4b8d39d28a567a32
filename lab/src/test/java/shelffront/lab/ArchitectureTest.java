package shelffront.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards the dependencies between the lab and the gateway. */
@AnalyzeClasses(packages = "shelffront")
class ArchitectureTest {

  @ArchTest
  static final ArchRule NOTHING_OUTSIDE_DEPENDS_ON_THE_LAB =
      noClasses()
          .that()
          .resideOutsideOfPackage("shelffront.lab..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("shelffront.lab..");

  /** The load generator may use only what a client of the gateway sees. */
  @ArchTest
  static final ArchRule LOAD_DOES_NOT_DEPEND_ON_GATEWAY_INTERNALS =
      noClasses()
          .that()
          .resideInAPackage("shelffront.lab.load..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "shelffront.tenant..",
              "shelffront.multitenant..",
              "shelffront.gateway..",
              "shelffront.decision..");
}
