package sprucerock.controller.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Signatures of both forms, right and wrong. */
public class SignaturesTest {
  private static final byte[] OLD = "the secret before".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NEW = "the secret now".getBytes(StandardCharsets.UTF_8);
  private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);
  private static final TimeSpan WINDOW = TimeSpan.ofMs(300_000);

  private static Signatures.Verdict verifyStandard(
      String id, String time, String signature, byte[] body) {
    return Signatures.verify(
        Signatures.SignatureScheme.STANDARD,
        new Signatures.Headers(id, time, signature),
        body,
        List.of(NEW, OLD),
        1000,
        WINDOW);
  }

  private static String sign(byte[] secret) {
    return Signatures.sign(Signatures.SignatureScheme.STANDARD, "m1", 1000, BODY, secret);
  }

  @Test
  public void eitherSecretIsAcceptedDuringRotation() {
    assertEquals(verifyStandard("m1", "1000", sign(OLD), BODY).id(), "m1");
    assertEquals(
        verifyStandard("m1", "1000", "v1,bm90IGl0 " + sign(NEW) + " v1a,else", BODY).id(), "m1");
    assertNotNull(verifyStandard("m1", "1000", sign("another".getBytes()), BODY).refused());
  }

  @Test
  public void alteredOrExpiredDeliveriesAreRejected() {
    assertNotNull(verifyStandard("m2", "1000", sign(NEW), BODY).refused());
    assertNotNull(verifyStandard("m1", "1001", sign(NEW), BODY).refused());
    assertNotNull(verifyStandard("m1", "1000", sign(NEW), "{\"a\":2}".getBytes()).refused());
    assertEquals(
        verifyStandard("m1", "1301", sign(NEW), BODY).refused(),
        "its time is more than 300 s from ours");
    assertEquals(
        verifyStandard("m1", "699", sign(NEW), BODY).refused(),
        "its time is more than 300 s from ours");
    assertEquals(
        verifyStandard("m1", "soon", sign(NEW), BODY).refused(),
        "its time is no number of seconds");
    assertNotNull(verifyStandard("m1", null, sign(NEW), BODY).refused());
    assertNotNull(verifyStandard(null, "1000", sign(NEW), BODY).refused());
    assertNotNull(verifyStandard("m1", "1000", null, BODY).refused());
    assertNotNull(verifyStandard("m1", "1000", "v1,%%%", BODY).refused());
    assertNotNull(verifyStandard("m 1", "1000", sign(NEW), BODY).refused());
    assertNotNull(
        verifyStandard("m1", "1000", "v1,AA== ".repeat(20) + sign(NEW), BODY)
            .refused()); // beyond as many as are looked at
  }

  /** The example of GitHub's own page. */
  @Test
  public void gitHubsPublishedExampleVerifies() {
    Signatures.Headers headers =
        new Signatures.Headers(
            "d-1", null, "sha256=757107ea0eb2509fc211221cce984b8a37570b6d7586c22c46f4379c8b043e17");
    byte[] secret = "It's a Secret to Everybody".getBytes(StandardCharsets.UTF_8);
    assertNull(
        Signatures.verify(
                Signatures.SignatureScheme.GITHUB,
                headers,
                "Hello, World!".getBytes(),
                List.of(secret),
                0,
                WINDOW)
            .refused());
    assertNotNull(
        Signatures.verify(
                Signatures.SignatureScheme.GITHUB,
                headers,
                "Hello, world!".getBytes(),
                List.of(secret),
                0,
                WINDOW)
            .refused());
  }

  @Test
  public void secretsAreParsedOnePerLine() {
    List<byte[]> read =
        Signatures.parseSecrets(
            "# now\nwhsec_"
                + Base64.getEncoder().encodeToString(NEW)
                + "\n\n"
                + Base64.getEncoder().encodeToString(OLD)
                + "\n",
            Signatures.SignatureScheme.STANDARD);
    assertEquals(read.size(), 2);
    assertEquals(read.get(0), NEW);
    assertEquals(read.get(1), OLD);
  }
}
