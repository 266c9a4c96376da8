# A client at the end of a slow link: sends one request and reads the answer at
# a limited rate, with the segment size of an Ethernet link and a small window.
# Arguments: host, port, request, bytes a second. Prints when and how the answer
# ended (complete, closed or reset), and its bytes: read and expected.
use strict;
use warnings;
use Socket;
use Time::HiRes qw(sleep time);

my ($host, $port, $request, $rate) = @ARGV;
my $READ = 4_096;
my $WINDOW = 4_096;
my $SEGMENT = 1_460;
my $IPPROTO_TCP = 6;
my $TCP_MAXSEG = 2;

$| = 1;
socket(my $s, PF_INET, SOCK_STREAM, 0) or die $!;
setsockopt($s, SOL_SOCKET, SO_RCVBUF, $WINDOW) or die $!;
setsockopt($s, $IPPROTO_TCP, $TCP_MAXSEG, $SEGMENT) or die $!;
connect($s, sockaddr_in($port, inet_aton($host))) or die $!;
syswrite($s, $request);
my ($got, $expected, $head) = (0, 0, '');
my $start = time;
my $end;
until ($end) {
  my $n = sysread($s, my $bytes, $READ);
  if (!defined $n) { $end = 'reset' }
  elsif ($n == 0) { $end = 'closed' }
  else {
    $got += $n;
    if (!$expected) {
      $head .= $bytes;
      if ($head =~ /^(.*?\r\n\r\n)/s) {
        my $size = length $1;
        ($expected) = $head =~ /^Content-Length: (\d+)/mi;
        $expected += $size;
      }
    }
    if ($expected && $got >= $expected) { $end = 'complete' }
    my $due = $start + $got / $rate - time;
    sleep $due if $due > 0;
  }
}
printf "%.3f %s %d %d\n", time, $end, $got, $expected;
