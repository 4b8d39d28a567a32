package shelffront;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;

/**
 * Enforces the rules that make decisions reproducible: code in core performs no input or output and
 * has no clock of its own.
 */
@AnalyzeClasses(packages = "shelffront", importOptions = DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule NO_INPUT_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.nio..",
              "java.net..",
              "java.util.concurrent.locks..",
              "java.time..",
              "java.util.logging..",
              "com.sun..",
              "sun..");

  /**
   * Only the quota package has state shared by event loops, which it accesses without blocking; all
   * other code in core belongs to one thread.
   */
  @ArchTest
  static final ArchRule NO_CONCURRENCY_OUTSIDE_QUOTA =
      noClasses()
          .that()
          .resideOutsideOfPackage("shelffront.quota")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent..");

  @ArchTest
  static final ArchRule NO_BLOCKING =
      noClasses()
          .should()
          .dependOnClassesThat()
          .areAssignableTo(Executor.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(BlockingQueue.class)
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Future.class)
          .orShould()
          .callMethod(Object.class, "wait")
          .orShould()
          .callMethod(Object.class, "notifyAll");

  @ArchTest
  static final ArchRule NO_CLOCK_AND_NO_THREADS =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);

  /** With an unseeded random source, the same events would produce different actions. */
  @ArchTest
  static final ArchRule NO_UNSEEDED_RANDOMNESS =
      noClasses()
          .should()
          .callConstructor(java.util.Random.class)
          .orShould()
          .callConstructor(java.util.SplittableRandom.class)
          .orShould()
          .callMethod(Math.class, "random");

  @ArchTest
  static final ArchRule NO_CYCLES =
      SlicesRuleDefinition.slices().matching("shelffront.(*)..").should().beFreeOfCycles();
}
