package sprucerock.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucerock.time.Span;

/** The start settings that the module reads, decoded once. */
public final class Settings {
    public enum Control { SINGLE, MAJORITY, CLOCKED }

    public final int zone;
    public final List<Method> methods;
    public final List<Double> customerShares;
    public final double overShareWorth;
    public final Span tick;
    public final boolean ask;
    public final Span askWithin;
    public final Span cold;
    public final double startShare;
    public final Span tipAfter;
    public final double tipMultiple;
    public final int maxPicks;
    public final boolean secondCopies;
    public final boolean cancel;
    public final boolean peers;
    public final boolean retryAfter;
    public final Span maxRetryAfter;
    public final Control control;
    public final List<Double> caps;
    public final boolean perMethod;
    public final double free;
    public final int guardedStages;
    public final boolean oneWayKeys;
    public final Span voteLife;
    public final Span callTimeout;
    public final int relays;
    public final double mostUtility;
    public final double meanSoftMs;
    public final int index;
    public final Span countsEvery;

    private final Map<String, String> pairs;

    public Settings(String text) {
        pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) pairs.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
        }
        zone = (int) number("my_zone");
        methods = decodeMethods();
        customerShares = decodeShares();
        overShareWorth = optional("over_share_worth", 1);
        tick = span("tick");
        ask = text("membership_mode").equals("ask");
        askWithin = span("obligations.ask_within");
        cold = span("obligations.cold");
        startShare = number("obligations.start_capacity");
        tipAfter = span("obligations.tip_after");
        tipMultiple = number("obligations.tip_multiple");
        maxPicks = (int) number("permissions.send_cap");
        secondCopies = text("permissions.second_copies").equals("true");
        cancel = text("permissions.cancel").equals("true");
        peers = text("permissions.peers").equals("true");
        retryAfter = text("permissions.retry_after").equals("true");
        maxRetryAfter = span("permissions.max_retry_after");
        control = switch (text("specifics.vote_mode")) {
            case "single" -> Control.SINGLE;
            case "majority" -> Control.MAJORITY;
            case "clocked" -> Control.CLOCKED;
            default -> throw new IllegalArgumentException("setting specifics.vote_mode is not known: "
                + text("specifics.vote_mode"));
        };
        List<Double> told = new ArrayList<>();
        for (String cap : text("specifics.caps").split(",")) told.add(Double.parseDouble(cap));
        caps = Collections.unmodifiableList(told);
        perMethod = text("specifics.per").equals("per_lane");
        free = number("specifics.uncounted");
        guardedStages = (int) optional("specifics.safe_only_stages", 0);
        oneWayKeys = optionalText("specifics.keys_stay", "false").equals("true");
        voteLife = span("specifics.ballot_ttl");
        callTimeout = span("specifics.call_timeout");
        index = (int) number("index");
        relays = (int) number("balancers");
        countsEvery = Span.ofMs(optional("specifics.sums_every", 0));
        mostUtility = methods.stream().mapToDouble(method -> method.utility).max().orElse(1);
        meanSoftMs = methods.stream().mapToDouble(method -> method.softDeadline.ms()).average().orElse(1000);
        pairs.clear();
    }

    private List<Method> decodeMethods() {
        List<Method> found = new ArrayList<>();
        for (int i = 0; i < (int) number("classes.count"); i++) {
            String at = "classes." + i + ".";
            Method.Effect effect = switch (text(at + "effect")) {
                case "read_like" -> Method.Effect.IDEMPOTENT;
                case "idempotency_key" -> Method.Effect.TOKENED;
                case "non_idempotent" -> Method.Effect.NON_IDEMPOTENT;
                default -> throw new IllegalArgumentException("setting " + at + "effect is not known: "
                    + text(at + "effect"));
            };
            Method.Group group = switch (optionalText(at + "group", "all")) {
                case "zone" -> Method.Group.ZONE;
                case "cell" -> Method.Group.CELL;
                default -> Method.Group.ALL;
            };
            found.add(new Method(i, effect, group, span(at + "on_time"),
                Span.ofMs(optional(at + "window", 0)), number(at + "worth"),
                optionalText(at + "stream", "false").equals("true")));
        }
        return Collections.unmodifiableList(found);
    }

    private List<Double> decodeShares() {
        List<Double> found = new ArrayList<>();
        int count = (int) optional("orgs.count", 0);
        for (int i = 0; i < count; i++) found.add(optional("orgs." + i + ".share", 1.0 / count));
        return Collections.unmodifiableList(found);
    }

    private String text(String key) {
        String value = pairs.get(key);
        if (value == null) throw new IllegalArgumentException("setting " + key + " is missing");
        return value;
    }

    private String optionalText(String key, String otherwise) {
        return pairs.getOrDefault(key, otherwise);
    }

    private double number(String key) {
        try {
            return Double.parseDouble(text(key));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("setting " + key + " is not a number: " + text(key));
        }
    }

    private double optional(String key, double otherwise) {
        return pairs.containsKey(key) ? number(key) : otherwise;
    }

    private Span span(String key) {
        return Span.ofMs(number(key));
    }
}
