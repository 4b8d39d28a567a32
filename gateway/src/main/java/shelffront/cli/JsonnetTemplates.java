package shelffront.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import shelffront.tenant.TenantSpecCodec;
import shelffront.tenant.TenantSpecCodec.SpecException;
import sjsonnet.DefaultParseCache;
import sjsonnet.SjsonnetMain;

/** Evaluates a Jsonnet template, of which JSON is a part, by sjsonnet. */
public final class JsonnetTemplates {

  private JsonnetTemplates() {}

  /**
   * What the file gives; imports are looked for beside it. The error of one that gives nothing
   * names the line.
   */
  public static JsonNode evaluate(Path file) throws IOException, SpecException {
    if (!Files.isReadable(file)) {
      throw new IOException("can't be read");
    }
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    Path whole = file.toAbsolutePath();
    int code =
        SjsonnetMain.main0(
            new String[] {whole.toString()},
            new DefaultParseCache(),
            new ByteArrayInputStream(new byte[0]),
            new PrintStream(out, true, UTF_8),
            new PrintStream(err, true, UTF_8),
            new os.Path(whole.getParent()),
            SjsonnetMain.main0$default$7(),
            SjsonnetMain.main0$default$8(),
            SjsonnetMain.main0$default$9());
    if (code != 0) {
      throw new SpecException(
          "", "not a template: " + err.toString(UTF_8).strip().replaceAll("\\s+", " "));
    }
    return TenantSpecCodec.parse(out.toByteArray());
  }
}
