package shelffront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

/**
 * Checks the dependencies between packages: frontend and backend do not depend on each other, and
 * there are no cycles.
 */
@AnalyzeClasses(packages = "shelffront", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule FRONTEND_DOES_NOT_DEPEND_ON_BACKEND =
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
  static final ArchRule BACKEND_DOES_NOT_DEPEND_ON_FRONTEND =
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
  static final ArchRule MESSAGE_FRAMING_DOES_NOT_DEPEND_ON_SOCKETS =
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
