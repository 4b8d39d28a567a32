package shelffront.pg;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the limits of a request comment. */
class StatementTest {

  /** Guards against open requests that keep hundreds of short parameters each. */
  @Test
  void rejectsVeryManyParameters() throws ProtocolException {
    assertEquals("1", parse(29).value("id"));
    ProtocolException failure = assertThrows(ProtocolException.class, () -> parse(30));
    assertEquals("the request comment has more than 32 parameters", failure.getMessage());
  }

  /** Parses a comment with id, c, d and this number of further parameters. */
  private static Statement parse(int furtherParameters) throws ProtocolException {
    String further =
        IntStream.range(0, furtherParameters)
            .mapToObj(index -> ",x" + index + "=")
            .collect(Collectors.joining());
    return Statement.parse(("/* id=1,c=read,d=9" + further + " */ SELECT").getBytes(ISO_8859_1));
  }
}
