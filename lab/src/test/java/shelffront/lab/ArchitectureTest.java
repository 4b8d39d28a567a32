package shelffront.lab;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The lab stands on the gateway, and nothing stands on the lab. */
@AnalyzeClasses(packages = "shelffront")
class ArchitectureTest {

  @ArchTest
  static final ArchRule NOTHING_STANDS_ON_THE_LAB =
      noClasses()
          .that()
          .resideOutsideOfPackage("shelffront.lab..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("shelffront.lab..");

  /** The load sees what a client sees: it must not look into the gateway. */
  @ArchTest
  static final ArchRule LOAD_SEES_THE_WIRE_ONLY =
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
