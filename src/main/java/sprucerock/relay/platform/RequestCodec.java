package sprucerock.relay.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import sprucerock.transport.http.HttpException;

/**
 * Names and values as forms have them; what is asked for and not there, or no number, can't be
 * read.
 */
final class RequestCodec {
  private final Map<String, String> values = new HashMap<>();

  private RequestCodec() {}

  /**
   * @throws HttpException if it is no form
   */
  static RequestCodec read(String text) throws HttpException {
    RequestCodec form = new RequestCodec();
    for (String part : text.split("&", -1)) {
      int eq = part.indexOf('=');
      if (eq <= 0) {
        throw new HttpException("a form with a part that is no name and value");
      }
      try {
        String value = URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8);
        if (form.values.put(part.substring(0, eq), value) != null) {
          throw new HttpException("a form that says a name twice");
        }
      } catch (IllegalArgumentException e) {
        throw new HttpException("a form with a value that is not encoded");
      }
    }
    return form;
  }

  /** Of values that were read elsewhere. */
  static RequestCodec of(Map<String, String> values) {
    RequestCodec form = new RequestCodec();
    form.values.putAll(values);
    return form;
  }

  String text(String name) throws HttpException {
    String value = values.get(name);
    if (value == null || value.isEmpty()) {
      throw new HttpException("no " + name);
    }
    return value;
  }

  /** A number from 0 to {@code most}. */
  double number(String name, double most) throws HttpException {
    String text = text(name);
    if (!text.matches("[0-9]{1,15}(\\.[0-9]{1,17})?([eE]-?[0-9]{1,2})?")) {
      throw new HttpException(name + " is no number");
    }
    double value = Double.parseDouble(text);
    if (value > most) {
      throw new HttpException(name + " is over " + most);
    }
    return value;
  }

  int whole(String name, int most) throws HttpException {
    double value = number(name, most);
    if (value != Math.rint(value)) {
      throw new HttpException(name + " is no whole number");
    }
    return (int) value;
  }
}
