// The language of day scripts; docs/operators/rehearsal.md tells what each line does.
grammar Day;

day: 'day' STRING line* EOF;

line
  : 'seed' INT                                                                              # seed
  | 'lasts' SPAN                                                                            # lasts
  | 'relays' INT                                                                            # relays
  | 'tick' SPAN                                                                             # tick
  | 'units' INT ('zone' zone=INT)? ('cores' cores=INT)? ('speed' speed=number)?             # units
  | 'method' NAME effect 'share' share=PERCENT 'work' work=SPAN 'soft' soft=SPAN
      'deadline' deadline=SPAN 'utility' utility=number                                     # method
  | 'customer' NAME PERCENT                                                                 # customer
  | 'stage' share=PERCENT 'cap' cap=PERCENT                                                 # stage
  | 'votes' control 'life' life=SPAN 'answer' answer=SPAN 'bake' bake=SPAN
      ('step' step=SPAN)? ('on' on=INT)? ('hold' hold=INT)? ('back' back=INT)?              # votes
  | 'counts' 'every' SPAN 'sample' PERCENT                                                  # counts
  | 'cold' 'from' PERCENT 'for' lasts=SPAN 'tip' number 'after' after=SPAN                  # cold
  | 'exposure' 'free' number 'over' SPAN ('by' byMethod='method')? ('guarded' INT)?
      (oneWay='one-way')?                                                                   # exposure
  | 'drain-grace' SPAN                                                                      # drainGrace
  | 'roster' 'notice' SPAN ask='ask'?                                                       # rosterNotice
  | 'allow' allowed+                                                                        # allow
  | 'traffic' number '/s' ('busiest' times=number)?                                         # traffic
  | 'clients' INT 'retries' retries=INT 'after' SPAN ('impatient' PERCENT)?                 # clients
  | 'tls' everyone='everyone'? ('look' look=SPAN)? ('move' move=SPAN)? ('handshakes' INT '/s')? # tls
  | 'controller' 'real'                                                                     # realController
  | 'agents' 'watch' SPAN                                                                   # agents
  | 'leases' 'granters' INT 'term' term=SPAN 'looks' looks=SPAN                              # leases
  | 'racks' INT 'each' 'notice' SPAN                                                         # racks
  | 'at' SPAN trouble                                                                       # at
  ;

effect: 'idempotent' | 'tokened' SPAN | 'non-idempotent';
control: 'single' | 'majority' | 'clocked';
allowed: 'picks' INT | 'second-copies' | 'cancel' | 'peers' | 'retry-after' SPAN;

trouble
  : 'offer' ('good' | 'bad' fault)                                                          # offer
  | 'unit' INT (fate | ill 'for' SPAN)                                                       # unit
  | 'units' PERCENT ill 'for' SPAN                                                          # unitsIll
  | 'relay' INT (how=('killed' | 'stopped' | 'stalls') | 'busy' 'times' number) 'for' SPAN   # relay
  | 'relays' PERCENT how=('killed' | 'stopped') 'for' SPAN                                  # relaysDown
  | 'traffic' 'times' number 'for' SPAN                                                     # burst
  | 'customer' NAME ('times' number | 'rude') 'for' SPAN                                    # customerIll
  | 'everything' 'slow' 'times' number 'for' SPAN                                           # everythingSlow
  | 'method' NAME 'slow' 'times' number 'for' SPAN                                          # methodSlow
  | 'messages' ('lost' PERCENT | 'late' late=SPAN) 'for' length=SPAN                        # messages
  | 'roster' ('late' late=SPAN | 'down') 'for' length=SPAN                                  # rosterIll
  | 'desk' ('late' late=SPAN | 'down') 'for' length=SPAN                                    # deskIll
  | 'counts' 'late' late=SPAN 'for' length=SPAN                                             # countsLate
  | 'zone' INT 'link' late=SPAN ('losing' PERCENT)? 'for' length=SPAN                       # zoneLink
  | 'controller' how=('killed' | 'stalls') 'for' SPAN                                       # controllerIll
  | 'change' ('settings' settings=STRING)? ('program' program=STRING)?                     # change
  | 'agent' INT 'killed' (forgets='forgets')? 'for' SPAN                                   # agentIll
  | 'ways' 'of' whose=('agents' | 'relays' | 'leases') (first=INT ('to' last=INT)?)? wayIll 'for' length=SPAN # waysIll
  | 'freeze' NAME ('in' in=SPAN | 'at' 'once') 'lasts' length=SPAN                           # freeze
  | 'freeze' INT 'called' 'off'                                                             # callOff
  | 'certificates' 'rotate'                                                                 # rotate
  | 'trust' 'rotates' 'within' SPAN                                                         # trustRotates
  | 'clients' 'rude' 'for' SPAN                                                             # rude
  ;

fault
  : 'errors' PERCENT
  | 'method' NAME PERCENT
  | 'slow' 'times' number
  | 'under' 'load' PERCENT
  | 'late' 'after' SPAN
  | 'wrong' PERCENT
  | 'slows' 'all' 'times' number
  ;

wayIll: 'cut' ('there' | 'back')? | 'late' SPAN | 'losing' PERCENT | 'reset';

fate: 'drains' | 'restarts' 'within' SPAN | 'dies';

ill
  : 'hangs'
  | 'fails' PERCENT
  | 'slow' 'times' number
  | 'loses' PERCENT? 'answers'
  | 'talks' 'rubbish'
  | 'neighbour' PERCENT
  | 'pauses' pause=SPAN 'every' every=SPAN
  | 'takes' INT 'connections'
  | 'certificate' how=('misnamed' | 'expired' | 'untrusted')
  | 'handshake' (hand=('stalls' | 'resets') | 'slow' by=SPAN)
  | 'truncates'
  ;

number: INT | DECIMAL;

SPAN: [0-9]+ ('.' [0-9]+)? ('us' | 'ms' | 's' | 'min');
PERCENT: [0-9]+ ('.' [0-9]+)? '%';
INT: [0-9]+;
DECIMAL: [0-9]+ '.' [0-9]+;
STRING: '"' ~["\r\n]* '"';
NAME: [a-zA-Z] [a-zA-Z0-9_-]*;
COMMENT: '#' ~[\r\n]* -> skip;
SPACE: [ \t\r\n]+ -> skip;
OTHER: .;
