package shelffront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

/**
 * Holds the arrows between the packages: one concern each, client and server side meeting only in
 * an exchange.
 */
@AnalyzeClasses(packages = "shelffront", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule CLIENT_SIDE_KNOWS_NO_SERVER_SIDE =
      noClasses()
          .that()
          .resideInAPackage("shelffront.frontend..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "shelffront.backend..",
              "shelffront.discovery..",
              "shelffront.gateway..",
              "shelffront.decision..");

  @ArchTest
  static final ArchRule SERVER_SIDE_KNOWS_NO_CLIENT_SIDE =
      noClasses()
          .that()
          .resideInAPackage("shelffront.backend..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "shelffront.frontend..",
              "shelffront.discovery..",
              "shelffront.gateway..",
              "shelffront.decision..");

  @ArchTest
  static final ArchRule FRAMING_KNOWS_NO_SOCKETS =
      noClasses()
          .that()
          .resideInAPackage("shelffront.pg..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.nio.channels..", "java.net..", "shelffront.net..", "shelffront.request..");

  @ArchTest
  static final ArchRule NO_CYCLES =
      SlicesRuleDefinition.slices().matching("shelffront.(*)..").should().beFreeOfCycles();
}
